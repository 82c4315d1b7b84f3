/** Adapter to the platform's table, object store, list of machines and tasks. */
package org.quetzalscale.daemon.platform;
