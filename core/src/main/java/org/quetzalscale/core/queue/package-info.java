/** Admission control for requests: team limits, weighted fair queueing and worker selection. */
package org.quetzalscale.core.queue;
