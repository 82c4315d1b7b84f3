/** The settings of quetzalscaled, read from flags and the environment. */
package org.quetzalscale.daemon.settings;
