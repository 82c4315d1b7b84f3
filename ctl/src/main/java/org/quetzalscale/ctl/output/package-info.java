/** Tables and JSON for people and scripts. */
package org.quetzalscale.ctl.output;
