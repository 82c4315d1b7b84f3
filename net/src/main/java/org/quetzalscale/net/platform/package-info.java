/** The JSON messages of the platform's HTTP protocol, shared by its client and its stand-in. */
package org.quetzalscale.net.platform;
