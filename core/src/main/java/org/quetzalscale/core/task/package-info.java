/**
 * Jobs, and the orders to and reports from workers. A job consists of steps and a step of tasks;
 * each start of a task on a worker is a run, and the run numbers of a task increase.
 */
package org.quetzalscale.core.task;
