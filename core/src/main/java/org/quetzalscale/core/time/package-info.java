/** The source of time. */
package org.quetzalscale.core.time;
