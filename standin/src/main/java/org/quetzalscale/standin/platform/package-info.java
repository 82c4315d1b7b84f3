/** A stand-in for the platform: table, object store, list of machines and tasks over HTTP. */
package org.quetzalscale.standin.platform;
