/** Division of a full fleet among teams by weighted max-min fairness. */
package org.quetzalscale.core.share;
