/** Jobs with several steps, their tasks, and the orders to and reports from workers. */
package org.quetzalscale.core.task;
