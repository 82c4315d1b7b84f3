/** quetzalctl, the command-line tool of operators. */
package org.quetzalscale.ctl;
