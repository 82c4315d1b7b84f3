/** All error kinds and the exception that carries one. */
package org.quetzalscale.core.error;
