/** Structured log lines. */
package org.quetzalscale.daemon.logging;
