/** The protocol between entry instances. */
package org.quetzalscale.daemon.sibling;
