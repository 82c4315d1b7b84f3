/** The clock and the scheduling of delayed actions. */
package org.quetzalscale.core.time;
