/** Execution of maintenance waves, drains and worker moves on this instance. */
package org.quetzalscale.daemon.maintenance;
