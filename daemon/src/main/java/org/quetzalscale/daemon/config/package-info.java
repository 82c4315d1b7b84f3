/** The configuration of one daemon: its copy, its writes, and the JSON form of resources. */
package org.quetzalscale.daemon.config;
