/** Maintenance and moves of workers on this instance. */
package org.quetzalscale.daemon.maintenance;
