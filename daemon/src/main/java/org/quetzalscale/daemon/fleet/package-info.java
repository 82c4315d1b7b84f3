/**
 * Accepts jobs of several steps, and owns the fleet that runs them. All services of an instance run
 * on one event loop.
 */
package org.quetzalscale.daemon.fleet;
