/** Exit codes of all commands. */
export const exitCodes = {
	success: 0,
	/** The command was understood but could not be carried out. */
	failure: 1,
	/** An unknown command or option, or a missing one. */
	usage: 2,
	/** A settings or configuration file has faults. */
	invalidSettings: 3,
	/** Another change was accepted first. */
	conflict: 4,
} as const;
