/**
 * The caller port: accepts callers' requests, forwards them to targets and streams answers back.
 */
package org.quetzalscale.daemon.caller;
