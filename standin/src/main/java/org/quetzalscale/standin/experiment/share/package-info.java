/** Compares orders of job starts under bursts: team shares, urgent starts and lost work. */
package org.quetzalscale.standin.experiment.share;
