/** Declarations in files. */
package org.quetzalscale.ctl.document;
