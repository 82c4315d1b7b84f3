/** Conversion between records and JSON text. */
package org.quetzalscale.net.json;
