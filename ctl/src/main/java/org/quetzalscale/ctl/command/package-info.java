/** The commands of quetzalctl. */
package org.quetzalscale.ctl.command;
