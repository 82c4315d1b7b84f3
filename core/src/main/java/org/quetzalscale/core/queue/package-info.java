/** Admission of requests: limits, fair queueing by share, and the choice of a worker. */
package org.quetzalscale.core.queue;
