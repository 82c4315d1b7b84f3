/** Planning and execution of worker moves between pools. */
package org.quetzalscale.core.placement;
