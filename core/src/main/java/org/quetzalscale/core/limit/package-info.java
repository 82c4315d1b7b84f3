/** Fleet-wide upper limits of teams, of which each instance holds a block of units. */
package org.quetzalscale.core.limit;
