/** Decisions of quetzalscale without I/O; time and randomness are passed in. */
package org.quetzalscale.core;
