/** A load tool with open-loop arrivals. */
package org.quetzalscale.standin.load;
