/** Stand-ins for the external systems of the dispatcher, used for trials and tests. */
package org.gooseberrypier.standin;
