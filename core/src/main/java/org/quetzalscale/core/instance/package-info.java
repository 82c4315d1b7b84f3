/** Instances of the fleet, which the platform lists, moves between pools and maintains. */
package org.quetzalscale.core.instance;
