/**
 * Scheduling of tasks, instance moves and maintenance by the owner of a fleet, which is the process
 * that holds the fleet's lease. The classes perform no input or output and are used by a single
 * thread.
 */
package org.quetzalscale.core.schedule;
