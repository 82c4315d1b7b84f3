/** Relays store calls through a sibling instance while the store refuses calls from this one. */
package org.quetzalscale.daemon.relay;
