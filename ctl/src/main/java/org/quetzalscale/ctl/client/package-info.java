/** Calls to the operator interface. */
package org.quetzalscale.ctl.client;
