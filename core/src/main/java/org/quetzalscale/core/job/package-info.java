/** Jobs: stored rows, scheduling, preemption, recovery, and attribution of failures. */
package org.quetzalscale.core.job;
