/** The members of the system: who is alive, where, and who is responsible for what. */
package org.fescueloom.member;
