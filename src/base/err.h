/** @file Error numbers: negative, with a name for each. */
#ifndef ERR_H
#define ERR_H

enum cc_err {
	CC_OK = 0,
	CC_ETIMEOUT = -1,  /**< no answer in time; it may have taken effect */
	CC_ECONN = -2,	   /**< the connection failed before an answer */
	CC_ENOTSENT = -3,  /**< certainly nothing was sent */
	CC_ECONFLICT = -4, /**< a condition did not hold */
	CC_EPROTO = -5,	   /**< the answer could not be understood */
	CC_ENOTOWNER = -6, /**< this host does not own the shard */
	CC_EINVAL = -7,	   /**< bad input */
	CC_ENOENT = -8,	   /**< there is no such thing */
	CC_EBUSY = -9,	   /**< not now; try again */
	CC_EUNAVAIL = -10, /**< the platform's store cannot be reached */
};

/** Name of an error number, for logs. */
const char *cc_strerror(int e);

#endif
