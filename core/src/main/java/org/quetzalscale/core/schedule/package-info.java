/** Decides which task runs where and when. Free of input and output; used by one thread. */
package org.quetzalscale.core.schedule;
