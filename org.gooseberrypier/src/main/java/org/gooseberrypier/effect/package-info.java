/** Effects: the actions that the core requests from the process around it, as values. */
package org.gooseberrypier.effect;
