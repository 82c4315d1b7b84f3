/** Deterministic queueing models that compare policies; not a simulation of a cluster. */
package org.quetzalscale.standin.experiment;
