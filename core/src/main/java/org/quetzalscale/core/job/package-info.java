/** Jobs: their rows, the order of starts, recovery, and who is at fault when attempts fail. */
package org.quetzalscale.core.job;
