/** Jobs of several steps, their tasks and what workers report about them. */
package org.quetzalscale.core.task;
