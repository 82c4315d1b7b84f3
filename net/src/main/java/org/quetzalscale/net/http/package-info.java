/** A server and a client for small JSON messages over HTTP/1.1. */
package org.quetzalscale.net.http;
