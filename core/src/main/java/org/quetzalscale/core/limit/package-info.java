/** Upper limits of teams, dealt to instances in blocks. */
package org.quetzalscale.core.limit;
