/** The caller port: takes callers' requests, sends them to targets and streams answers back. */
package org.quetzalscale.daemon.caller;
