/**
 * Accepts jobs of several steps, and owns the fleet that runs them. All of it runs on one event
 * loop.
 */
package org.quetzalscale.daemon.fleet;
