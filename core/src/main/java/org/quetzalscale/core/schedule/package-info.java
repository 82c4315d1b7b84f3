/**
 * Scheduling of tasks, instance moves and maintenance. The classes perform no input or output and
 * are used by a single thread.
 */
package org.quetzalscale.core.schedule;
