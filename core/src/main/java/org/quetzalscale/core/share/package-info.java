/** Division of the fleet's capacity among teams by weighted max-min fairness. */
package org.quetzalscale.core.share;
