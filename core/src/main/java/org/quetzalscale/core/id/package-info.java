/** Value types for identifiers. */
package org.quetzalscale.core.id;
