/** Connections to the targets that run callers' requests. */
package org.quetzalscale.daemon.target;
