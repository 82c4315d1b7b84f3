/** A stand-in for a target: an HTTP/1.1 server that logs what it runs and fails when told to. */
package org.quetzalscale.standin.target;
