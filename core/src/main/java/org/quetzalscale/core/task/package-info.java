/**
 * Jobs, and the orders to and reports from workers. A job consists of steps and a step of tasks;
 * each start of a task on a worker is a run with a number of its own.
 */
package org.quetzalscale.core.task;
