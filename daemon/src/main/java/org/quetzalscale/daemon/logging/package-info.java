/** Structured logging: one JSON object or one line of key=value pairs for each entry. */
package org.quetzalscale.daemon.logging;
