/** Comparison of declarations with the present resources. */
package org.quetzalscale.ctl.apply;
