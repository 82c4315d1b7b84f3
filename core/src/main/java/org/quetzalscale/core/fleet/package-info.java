/** Ports to the platform's list of machines and to its tasks. */
package org.quetzalscale.core.fleet;
