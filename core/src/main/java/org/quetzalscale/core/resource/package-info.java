/** The kinds of resource that operators declare, and their fields. */
package org.quetzalscale.core.resource;
